# Three managers, one task: its holder is killed, another takes over; then it is frozen, and its orders come too late.
name   = "lease-first"
length = "22s"

managers {
  count     = 3
  locations = ["east", "west", "north"]
  options   = <<EOT
@INCLUDE fleet-options@
leases {
@INCLUDE lease-voters@
  chore "sweep" {
    every    = "300ms"
    patience = "250ms"
    words    = ["order", "@ID@", "task=@TASK@,number=@NUMBER@,serial=@SERIAL@,holder=@HOLDER@", "sweep"]
  }
}
EOT
  file "leases/found" {
    text = "@FOUNDED@"
  }
}

engines "k" {
  count     = 4
  locations = ["east", "west"]
}

group "look" {
  goal   = "500ms"
  limit  = "3s"
  rate   = 30
  work   = "40ms"
  memory = 60
}

# Whoever holds the task: each is struck in turn.
fault "m1 killed" {
  at       = "4s"
  lasting  = "3s"
  managers = "m1"
  do       = "kill"
}

fault "m2 frozen" {
  at       = "9s"
  lasting  = "4s"
  managers = "m2"
  do       = "freeze"
}

fault "m3 killed, its disk lost" {
  at       = "15s"
  lasting  = "1s"
  managers = "m3"
  do       = "kill"
  folder   = "gone"
}

program "who holds what" {
  words = ["fleet", "leases", "--address", "@FIRST@"]
  at    = "20s"
  exits = 0
}

expect {
  served = 0.8
}
