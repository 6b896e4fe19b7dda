# The way back meets a manager that is down: the others are brought back, and it when it returns.
include = "roll-site"
name    = "roll-down"
length  = "45s"

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
name     = "controller"
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
  longest = "60s"
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

fault "m2 down as the change is found out" {
  at       = "12s"
  lasting  = "14s"
  managers = "m2"
  do       = "kill"
}

expect {
  served = 0.85
}
