# Six managers in three places, three of which vote on six tasks, before eight engines: what leases are played on.
name   = "lease-site"
length = "10s"

managers {
  count     = 6
  locations = ["east", "west", "north"]
  options   = <<EOT
@INCLUDE fleet-options@
leases {
@INCLUDE lease-voters@
  chore "sweep" {
    every    = "500ms"
    patience = "250ms"
    shards   = 6
    words    = ["order", "@ID@", "task=@TASK@,number=@NUMBER@,serial=@SERIAL@,holder=@HOLDER@", "sweep"]
  }
}
EOT
  file "leases/found" {
    text = "@FOUNDED@"
  }
}

engines "k" {
  count     = 8
  locations = ["east", "west", "north"]
}

group "look" {
  goal   = "500ms"
  limit  = "3s"
  rate   = 30
  work   = "40ms"
  memory = 60
}

expect {
  served = 0.9
}
