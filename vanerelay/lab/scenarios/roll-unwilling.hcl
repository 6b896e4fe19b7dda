# A manager refuses the settings (it serves proxies by those of its start): the change goes back at once.
include = "roll-site"
name    = "roll-unwilling"
length  = "20s"

release "with proxies" {
  managers = "m2"
  options  = <<EOT
@INCLUDE rollout-options@
xds {
  listen = "127.0.0.1:0"
}
EOT
}

program "controller" {
  words = ["rollout", "start", "@FOLDER@/plan.hcl"]
  again = ["rollout", "resume", "@FOLDER@/plan.hcl"]
  at    = "1s"
  exits = 1
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
