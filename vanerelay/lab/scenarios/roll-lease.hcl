# Two controllers under a lease: the second waits, takes over once the first sleeps; the first is fenced.
include = "roll-site"
name    = "roll-lease"
length  = "60s"

managers {
  count     = 6
  locations = ["east", "west"]
  options   = <<EOT
@INCLUDE rollout-options@
leases {
  voters = ["m1", "m2", "m3"]
  folder = "@FOLDER@/leases"
  terms {
    term    = "3s"
    longest = "3s"
  }
}
EOT
  file "leases/found" {
    text = "@FOUNDED@"
  }
}

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
@INCLUDE plan-leases@
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
@INCLUDE plan-leases@
@INCLUDE settings-change-60s@
EOT
  }
}

fault "the first sleeps in its first stage" {
  at       = "12s"
  lasting  = "10s"
  programs = "first"
  do       = "freeze"
}

fault "m5 back with the settings of last week" {
  at       = "25s"
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
