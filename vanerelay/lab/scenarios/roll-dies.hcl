# The new program dies some seconds after its start, again and again.
include = "roll-site"
name    = "roll-dies"
length  = "45s"

managers {
  count     = 6
  locations = ["east", "west"]
  options   = <<EOT
fleet {
  listen = "@LISTEN@"
  domain = "@PLACE@"
  folder = "@FOLDER@"
@MEMBERS@
}
rollout {
  folder = "@FOLDER@"
}
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
change {
  program = "new"
  back    = "old"
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
  served = 0.85
}
