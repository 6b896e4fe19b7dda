# A new program beside the old one, handed the listening socket: nobody is refused.
include = "roll-site"
name    = "roll-program"
length  = "60s"

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
  served = 0.95
}
