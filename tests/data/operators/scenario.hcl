# Every key of a script of the laboratory, each with a value of its own.
# unknown: scenario
name      = "all"
length    = "22s"
feed_late = "540ms"
settings  = { "limits.maxOpen" = 1009 }
group "look" {
  # unknown: scenario.group
  goal      = "550ms"
  limit     = "3200ms"
  rate      = 105.5
  work      = "45ms"
  utility   = 1.25
  effect    = "referenced"
  window    = "5500ms"
  spread    = 0.55
  memory    = 106.5
  threads   = 2
  locations = ["east"]
  load      = true
  hint      = "stale<=5s"
  follows   = "order"
}
group "order" {
  goal   = "1s"
  limit  = "4s"
  rate   = 1
  work   = "1ms"
  effect = "once-only"
}
group "read" {
  goal   = "1s"
  limit  = "4s"
  rate   = 1
  work   = "1ms"
  effect = "repeatable"
}
engines "k" {
  # unknown: scenario.engines
  count       = 8
  cores       = 5
  memory      = 8001
  connections = 107
  locations   = ["west"]
  refuses     = false
  copies      = "follows"
  lag         = "220ms"
  keeps       = 108
  reading     = "560ms"
}
managers {
  # unknown: scenario.managers
  count     = 9
  locations = ["east", "west"]
  memory_mb = 193
  sockets   = 1025
  options   = "fleet {}"
  talk      = true
  keeper    = true
  file "a" {
    # unknown: scenario.file
    text = "b"
  }
}
program "controller" {
  # unknown: scenario.program
  words = ["rollout", "start"]
  at    = "1500ms"
  again = ["rollout", "resume"]
  exits = 4
  file "old.json" {
    settings = { "limits.maxOpen" = 1010 }
  }
}
release "old" {
  # unknown: scenario.release
  managers = "m*"
  tree     = "/opt/old"
  options  = "rollout {}"
  shim     = "pass"
  settings = { "limits.maxOpen" = 1011 }
}
clients {
  # unknown: scenario.clients
  retries  = 3
  backoff  = "230ms"
  skew     = 1.75
  notice   = "1600ms"
  tables   = 23
  sessions = 15
}
cold {
  # unknown: scenario.cold
  share    = 0.31
  warm     = "16s"
  multiple = 4.5
  window   = "2400ms"
  down     = "2500ms"
}
ration {
  # unknown: scenario.ration
  span  = "17s"
  free  = 18
  share = 0.19
}
fault "m1 cut off" {
  # unknown: scenario.fault
  at      = "2600ms"
  lasting = "2700ms"
  links   = ["m1 - e1"]
  do      = "slow"
  delay   = "81ms"
  jitter  = "41ms"
  rate    = 1012.5
  loss    = 0.025
  factor  = 1.5
  every   = "18s"
  group   = "look"
}
fault "m5 back" {
  at       = "25s"
  managers = "m5"
  do       = "kill"
  folder   = "gone"
  release  = "old"
  settings = { "limits.maxOpen" = 1013 }
}
fault "first sleeps" {
  at       = "26s"
  programs = "first"
  do       = "freeze"
}
fault "e1 replaced" {
  at      = "27s"
  engines = "e1"
  do      = "replace"
}
publication "press" {
  # unknown: scenario.publication
  load    = "look"
  group   = "read"
  at      = "2800ms"
  first   = 3
  last    = 7
  apart   = "1700ms"
  every   = "19s"
  rate    = 11.5
  half    = "4500ms"
  noticed = "1800ms"
  reads   = false
}
expect {
  # unknown: scenario.expect
  served = 0.85
  since  = "2900ms"
}
