# A good change in bad weather: the feed lost, an engine that fails a third, a burst, a location lost. Not blamed on it.
include = "roll-site"
name    = "roll-weather"
length  = "75s"

program "controller" {
  words = ["rollout", "start", "@FOLDER@/plan.hcl"]
  again = ["rollout", "resume", "@FOLDER@/plan.hcl"]
  at    = "1s"
  exits = 0
  file "old.json" {
    settings = {}
  }
  file "new.json" {
    settings = { "limits.maxOpen" = 1500 }
  }
  file "plan.hcl" {
    text = <<EOT
name     = "controller"
baseline = "4s"
@INCLUDE settings-change-60s@
EOT
  }
}

fault "the feed lost" {
  at      = "7s"
  lasting = "12s"
  links   = ["m* - feed"]
  do      = "hold"
}

fault "e1 fails a third" {
  at      = "8s"
  lasting = "10s"
  engines = "e1"
  do      = "errors"
  factor  = 0.33
}

fault "a burst" {
  at      = "12s"
  lasting = "6s"
  do      = "load"
  factor  = 1.8
}

fault "the west lost" {
  at      = "22s"
  lasting = "5s"
  engines = "e2 e4 e6"
  do      = "crash"
}

fault "one of two new managers cut off from two engines" {
  at      = "9s"
  lasting = "6s"
  links   = ["m1 - e3", "m1 - e5"]
  do      = "cut"
}

expect {
  served = 0.7
}
