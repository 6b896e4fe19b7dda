# A change of settings that is good: goes through all stages, nothing is lost.
include = "roll-site"
name    = "roll-good"
length  = "45s"

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
