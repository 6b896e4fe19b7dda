# A change of settings that is good: goes through all stages, nothing is lost.
include = "roll-site"
name    = "roll-good"
length  = "45s"

program "controller" {
  words = ["rollout", "start", "@FOLDER@/plan.hcl"]
  again = ["rollout", "resume", "@FOLDER@/plan.hcl"]
  at    = "1s"
  exits = 0
  file "old.json" {
    settings = {}
  }
  file "new.json" {
    settings = { "limits.maxRetryAfterUs" = 1000000, "safety.extraRatio" = 0.2 }
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
  served = 0.95
}
