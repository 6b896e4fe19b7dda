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
@INCLUDE settings-change-40s@

EOT
  }
}

expect {
  served = 0.8
}
