guard "look" {
  loss = 0.3
}
guard "order" {
  loss = 0.3
}
