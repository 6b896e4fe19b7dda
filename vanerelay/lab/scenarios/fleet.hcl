# Managers that know each other: one killed and back without its folder, one frozen, one cut off, two halves apart.
name   = "fleet"
length = "31s"

managers {
  count     = 8
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
  rate   = 60
  work   = "40ms"
  memory = 60
}

fault "m3 killed, its disk lost" {
  at       = "2s"
  lasting  = "4s"
  managers = "m3"
  do       = "kill"
  folder   = "gone"
}

fault "m4 frozen" {
  at       = "5s"
  lasting  = "7s"
  managers = "m4"
  do       = "freeze"
}

fault "m5 cut off from the others" {
  at      = "8s"
  lasting = "5s"
  links   = ["m5 - m*"]
  do      = "cut"
}

fault "east and west apart" {
  at      = "15s"
  lasting = "7s"
  links   = ["@east - @west"]
  do      = "hold"
}

program "looks while east and west are apart" {
  words = ["fleet", "show", "--address", "@FIRST@"]
  at    = "21s"
  exits = 1
}

program "looks in the end" {
  words = ["fleet", "show", "--address", "@FIRST@"]
  at    = "29s"
  exits = 0
}

expect {
  served = 0.85
}
