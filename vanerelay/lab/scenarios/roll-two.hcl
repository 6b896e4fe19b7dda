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
