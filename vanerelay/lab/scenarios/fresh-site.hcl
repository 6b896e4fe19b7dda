# Six managers before a source and six copies that follow it; loads, and readers that say how old a read may be.
name   = "fresh-site"
length = "10s"

managers {
  count     = 6
  locations = ["east", "west", "north"]
  options   = <<EOT
@INCLUDE fleet-options@
leases {
@INCLUDE lease-voters@
}
freshness {
  watch {
    every    = "300ms"
    patience = "500ms"
    hear     = "100ms"
    shards   = 2
    words    = ["copies", "@ID@", "task=@TASK@,number=@NUMBER@,serial=@SERIAL@,holder=@HOLDER@", "@FROM@"]
  }
  sessions {
    longest = "3s"
  }
}
EOT
  file "leases/found" {
    text = "@FOUNDED@"
  }
}

engines "src" {
  count     = 1
  cores     = 8
  locations = ["east"]
  copies    = "source"
}

engines "k" {
  count     = 6
  locations = ["east", "west", "north"]
  copies    = "follows"
  lag       = "150ms"
}

clients {
  tables   = 8
  sessions = 12
}

group "load" {
  goal   = "2s"
  limit  = "5s"
  rate   = 8
  work   = "30ms"
  memory = 60
  load   = true
  effect = "once-only"
}

group "look" {
  goal   = "1500ms"
  limit  = "4s"
  rate   = 25
  work   = "30ms"
  memory = 60
  hint   = "stale<=1s else=wait"
}

group "session" {
  goal   = "1500ms"
  limit  = "4s"
  rate   = 20
  work   = "30ms"
  memory = 60
  hint   = "stale<=5s pin=@SESSION@ for=3s else=source"
}

group "own" {
  goal    = "1500ms"
  limit   = "4s"
  rate    = 0
  work    = "30ms"
  memory  = 60
  hint    = "after=@LAST@ else=wait"
  follows = "load"
}

expect {
  served = 0.9
  since  = "3s"
}
