# Faults on top of each other: links cut and slow, managers killed, frozen and ended, engines that die and stall.
name   = "faults"
length = "20s"

managers {
  count     = 8
  locations = ["east", "west"]
}

engines "k" {
  count     = 10
  cores     = 4
  memory    = 8000
  locations = ["east", "west"]
}

group "look" {
  goal   = "500ms"
  limit  = "3s"
  rate   = 120
  work   = "40ms"
  memory = 60
}

group "report" {
  goal    = "3s"
  limit   = "10s"
  rate    = 8
  work    = "700ms"
  memory  = 900
  threads = 2
  utility = 4
}

group "order" {
  goal    = "2s"
  limit   = "6s"
  rate    = 15
  work    = "90ms"
  utility = 3
  effect  = "once-only"
}

fault "m1 cut off from three engines" {
  at      = "2s"
  lasting = "4s"
  links   = ["m1 - e1", "m1 - e2", "m1 > e3"]
  do      = "cut"
}

fault "slow and lossy to the west" {
  at      = "3s"
  lasting = "6s"
  links   = ["m2 - @west"]
  do      = "slow"
  delay   = "80ms"
  jitter  = "40ms"
  loss    = 0.02
}

fault "m3 killed" {
  at       = "4s"
  lasting  = "2s"
  managers = "m3"
  do       = "kill"
}

fault "m4 frozen" {
  at       = "6s"
  lasting  = "3s"
  managers = "m4"
  do       = "freeze"
}

fault "m5 ended" {
  at       = "8s"
  lasting  = "3s"
  managers = "m5"
  do       = "end"
}

fault "e4 dies" {
  at      = "5s"
  lasting = "3s"
  engines = "e4"
  do      = "crash"
}

fault "e5 stalls" {
  at      = "7s"
  lasting = "3s"
  engines = "e5"
  do      = "stall"
}

fault "e6 fails a third" {
  at      = "9s"
  lasting = "3s"
  engines = "e6"
  do      = "errors"
  factor  = 0.33
}

fault "e7 silent" {
  at      = "11s"
  lasting = "3s"
  engines = "e7"
  do      = "vanish"
}

fault "e8 replaced" {
  at      = "13s"
  lasting = "2s"
  engines = "e8"
  do      = "replace"
}

fault "a burst" {
  at      = "14s"
  lasting = "2s"
  do      = "load"
  factor  = 1.8
}

expect {
  served = 0.8
}
