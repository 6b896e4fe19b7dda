# Two controllers: the first is frozen, the second takes over, the first wakes up with its order in hand.
include = "roll-site"
name    = "roll-two"
length  = "55s"

program "first" {
  words = ["rollout", "start", "@FOLDER@/plan.hcl"]
  again = ["rollout", "resume", "@FOLDER@/plan.hcl"]
  at    = "1s"
  exits = 4
  file "old.json" {
    settings = {}
  }
  file "new.json" {
    settings = { "limits.maxOpen" = 1500 }
  }
  file "plan.hcl" {
    text = <<EOT
name     = "first"
baseline = "4s"
@INCLUDE settings-change-60s@
EOT
  }
}

program "second" {
  words = ["rollout", "start", "@FOLDER@/plan.hcl"]
  again = ["rollout", "resume", "@FOLDER@/plan.hcl"]
  at    = "10s"
  exits = 0
  file "old.json" {
    settings = {}
  }
  file "new.json" {
    settings = { "limits.maxOpen" = 1800 }
  }
  file "plan.hcl" {
    text = <<EOT
name     = "second"
baseline = "4s"
@INCLUDE settings-change-60s@
EOT
  }
}

fault "the first sleeps in its first stage" {
  at       = "7s"
  lasting  = "10s"
  programs = "first"
  do       = "freeze"
}

fault "m5 back with the settings of last week" {
  at       = "20s"
  lasting  = "1s"
  managers = "m5"
  do       = "kill"
  folder   = "gone"
  release  = "last week"
}

release "last week" {
  settings = { "limits.maxOpen" = 900 }
}

expect {
  served = 0.9
}
