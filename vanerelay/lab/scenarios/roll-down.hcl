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
@INCLUDE settings-change-60s@
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
