# Two controllers under a lease: the second waits, takes over once the first sleeps; the first is fenced.
include = "roll-site"
name    = "roll-lease"
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
leases {
  voters  = ["m1", "m2", "m3"]
  terms {
    term    = "3s"
    longest = "3s"
  }
}
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
leases {
  voters  = ["m1", "m2", "m3"]
  terms {
    term    = "3s"
    longest = "3s"
  }
}
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
