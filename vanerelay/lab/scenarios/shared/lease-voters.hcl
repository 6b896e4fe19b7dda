  voters  = ["m1", "m2", "m3"]
  folder  = "@FOLDER@/leases"
  history = "@HISTORY@"
  terms {
    term    = "2s"
    longest = "3s"
    linger  = "300ms"
  }
