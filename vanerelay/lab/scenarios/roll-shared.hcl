# A budget that the fleet shares is loosened while engines come cold: the stricter value holds until all have the new one.
include = "roll-site"
name    = "roll-shared"
length  = "50s"

program "controller" {
  words = ["rollout", "start", "@FOLDER@/plan.hcl"]
  again = ["rollout", "resume", "@FOLDER@/plan.hcl"]
  at    = "1s"
  exits = 0
  file "old.json" {
    settings = {}
  }
  file "new.json" {
    settings = { "safety.fallMultiple" = 40 }
  }
  file "plan.hcl" {
    text = <<EOT
name     = "change"
baseline = "4s"
@INCLUDE settings-change-40s@

EOT
  }
}

cold {
  share = 0.05
  warm  = "20s"
}

fault "e1 replaced" {
  at      = "9s"
  lasting = "1s"
  engines = "e1"
  do      = "replace"
}

fault "e2 replaced" {
  at      = "16s"
  lasting = "1s"
  engines = "e2"
  do      = "replace"
}

fault "e3 replaced" {
  at      = "23s"
  lasting = "1s"
  engines = "e3"
  do      = "replace"
}

expect {
  served = 0.8
}
