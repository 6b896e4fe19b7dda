# Six managers that know each other and take orders, before engines at half of their load: what roll-* are played on.
name   = "roll-site"
length = "10s"

managers {
  count     = 6
  locations = ["east", "west"]
  options   = <<EOT
@INCLUDE rollout-options@
EOT
}

engines "k" {
  count     = 6
  locations = ["east", "west"]
}

group "look" {
  goal   = "500ms"
  limit  = "3s"
  rate   = 150
  work   = "40ms"
  memory = 60
}

group "order" {
  goal    = "2s"
  limit   = "6s"
  rate    = 50
  work    = "90ms"
  utility = 3
  effect  = "once-only"
}

expect {
  served = 0.97
}
