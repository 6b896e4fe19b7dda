# The new program dies some seconds after its start, again and again.
include = "roll-site"
name    = "roll-dies"
length  = "45s"

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
import os, sys, threading
if 'serve' in sys.argv:
    dies = threading.Timer(5, os._exit, [9])
    dies.daemon = True
    dies.start()
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
  served = 0.85
}
