# The keys of a rolling change that replaces the program.
change {
  program = "new"
  back    = "old"
  before  = "old.json"
}
member "m1" {
  address = "10.0.0.1:7946"
}
stage "all" {
  part = 1.0
}
