# A new program beside the old one, handed the listening socket: nobody is refused.
include = "roll-site"
name    = "roll-program"
length  = "60s"

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
# the same program under another name
EOT
}

program "controller" {
  words = ["rollout", "start", "@FOLDER@/plan.hcl"]
  again = ["rollout", "resume", "@FOLDER@/plan.hcl"]
  at    = "1s"
  exits = 0

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
