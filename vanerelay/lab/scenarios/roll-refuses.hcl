# The new program does not start: the old ones go on, and nothing else is changed.
include = "roll-site"
name    = "roll-refuses"
length  = "25s"

managers {
  count     = 6
  locations = ["east", "west"]
  options   = <<EOT
@INCLUDE rollout-options@
EOT
  keeper    = true
}

release "old" {
  managers = "m*"
}

release "new" {
  shim = <<EOT
raise SystemExit(2)
EOT
}

program "controller" {
  words = ["rollout", "start", "@FOLDER@/plan.hcl"]
  again = ["rollout", "resume", "@FOLDER@/plan.hcl"]
  at    = "1s"
  exits = 1

  file "plan.hcl" {
    text = <<EOT
name     = "change"
baseline = "4s"
control = 1
@INCLUDE program-change-40s@

EOT
  }
}

expect {
  served = 0.95
}
