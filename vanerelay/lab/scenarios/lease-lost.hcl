# All managers are lost with their disks at once: nobody acts until an operator says so, and numbers go on above.
name    = "lease-lost"
include = "lease-site"
length  = "26s"

fault "all lost, disks too" {
  at       = "5s"
  lasting  = "2s"
  managers = "m*"
  do       = "kill"
  folder   = "gone"
}

program "who holds what: nobody" {
  words = ["fleet", "leases", "--address", "@FIRST@"]
  at    = "12s"
  exits = 1
}

fault "an operator's word to m1 and m2" {
  at       = "14s"
  lasting  = "500ms"
  managers = "m1 m2"
  do       = "kill"
  folder   = "founded"
}

program "who holds what" {
  words = ["fleet", "leases", "--address", "@FIRST@"]
  at    = "25s"
  exits = 0
}

expect {
  served = 0.4
}
