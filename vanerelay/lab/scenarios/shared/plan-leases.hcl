leases {
  voters  = ["m1", "m2", "m3"]
  terms {
    term    = "3s"
    longest = "3s"
  }
}
