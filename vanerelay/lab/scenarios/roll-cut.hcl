# The controller is killed twice in mid-change and goes on from its record; links to it are slow and cut.
include = "roll-site"
name    = "roll-cut"
length  = "60s"

program "controller" {
  words = ["rollout", "start", "@FOLDER@/plan.hcl"]
  again = ["rollout", "resume", "@FOLDER@/plan.hcl"]
  at    = "1s"
  exits = 0
  file "old.json" {
    settings = {}
  }
  file "new.json" {
    settings = { "safety.extraRatio" = 0.2 }
  }
  file "plan.hcl" {
    text = <<EOT
name     = "change"
baseline = "4s"
@INCLUDE settings-change-40s@

EOT
  }
}

fault "controller killed while it watches" {
  at       = "4s"
  lasting  = "1s"
  programs = "controller"
  do       = "kill"
}

fault "controller killed in its first stage" {
  at       = "12s"
  lasting  = "2s"
  programs = "controller"
  do       = "kill"
}

fault "slow to two managers" {
  at      = "8s"
  lasting = "14s"
  links   = ["controller - m2", "controller - m3"]
  do      = "slow"
  delay   = "3s"
}

fault "cut one way" {
  at      = "20s"
  lasting = "5s"
  links   = ["controller > m4"]
  do      = "hold"
}

fault "m5 killed in mid-change" {
  at       = "26s"
  lasting  = "2s"
  managers = "m5"
  do       = "kill"
}

fault "m6 frozen" {
  at       = "30s"
  lasting  = "10s"
  managers = "m6"
  do       = "freeze"
}

expect {
  served = 0.85
}
