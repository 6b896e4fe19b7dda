# Settings by which new managers push back most of what comes: ends with the old ones everywhere.
include = "roll-site"
name    = "roll-worse"
length  = "40s"

program "controller" {
  words = ["rollout", "start", "@FOLDER@/plan.hcl"]
  again = ["rollout", "resume", "@FOLDER@/plan.hcl"]
  at    = "1s"
  exits = 1
  file "old.json" {
    settings = {}
  }
  file "new.json" {
    settings = { "limits.maxOpen" = 1 }
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
  served = 0.8
}
