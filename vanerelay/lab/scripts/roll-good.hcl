# A change of settings that is good: goes through all stages, nothing is lost.
name   = "roll-good"
length = "45s"

managers {
  count     = 6
  locations = ["east", "west"]
  options   = <<EOT
fleet {
  listen = "@LISTEN@"
  domain = "@PLACE@"
  folder = "@FOLDER@"
@MEMBERS@
}
rollout {
  folder = "@FOLDER@"
}
EOT
}

engines "k" {
  count     = 6
  locations = ["east", "west"]
}

group "look" {
  goal   = "500ms"
  limit  = "3s"
  rate   = 150
  work   = "40ms"
  memory = 60
}

group "order" {
  goal    = "2s"
  limit   = "6s"
  rate    = 50
  work    = "90ms"
  utility = 3
  effect  = "once-only"
}

program "controller" {
  words = ["rollout", "start", "@FOLDER@/plan.hcl"]
  again = ["rollout", "resume", "@FOLDER@/plan.hcl"]
  at    = "1s"
  exits = 0
  file "old.json" {
    settings = {}
  }
  file "new.json" {
    settings = { "limits.maxRetryAfterUs" = 1000000, "safety.extraRatio" = 0.2 }
  }
  file "plan.hcl" {
    text = <<EOT
name     = "change"
baseline = "4s"
change {
  before   = "old.json"
  settings = "new.json"
}
@MEMBERS@
away {
  most   = 2
  domain = 1
}
stage "two" {
  managers = 2
}
stage "all" {
  part = 1.0
}
judge {
  block   = 20
  least   = 6
  settle  = "1s"
  longest = "40s"
}
guard "look" {
  loss = 0.3
}
guard "order" {
  loss = 0.3
}

EOT
  }
}

expect {
  served = 0.95
}
