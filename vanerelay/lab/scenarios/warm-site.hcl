# Six managers before eight engines in two places that keep little warm; table groups come out, are read, and fade.
name   = "warm-site"
length = "40s"

managers {
  count     = 6
  locations = ["east", "west"]
  options   = <<EOT
@INCLUDE fleet-options@
leases {
@INCLUDE lease-voters@
}
warming {
  group     = "warm"
  statement = "SELECT count(*) FROM sales_@GROUP@.orders -- w=50 m=60 n=1"
  memory    = 60
  keeps     = 30
  budget    = 4.0
  reading   = "400ms"
  span      = "500ms"
  horizon   = "6s"
  history   = "@HISTORY@"
  publisher "closing" {
    first = 1
    last  = 60
  }
}
EOT
  file "leases/found" {
    text = "@FOUNDED@"
  }
}

engines "k" {
  count     = 8
  locations = ["east", "west"]
  keeps     = 30
  reading   = "400ms"
}

clients {
  tables = 60
}

group "look" {
  goal   = "300ms"
  limit  = "4s"
  rate   = 2
  work   = "20ms"
  memory = 60
}

group "load" {
  goal   = "2s"
  limit  = "5s"
  rate   = 0
  work   = "30ms"
  memory = 60
  load   = true
  effect = "once-only"
}

group "warm" {
  goal    = "4s"
  limit   = "8s"
  rate    = 0
  work    = "400ms"
  memory  = 60
  utility = 0.01
}

publication "closing" {
  load    = "load"
  group   = "look"
  at      = "3s"
  first   = 1
  last    = 40
  apart   = "900ms"
  rate    = 16
  half    = "2500ms"
  noticed = "3s"
}

expect {
  served = 0.5
  since  = "4s"
}
