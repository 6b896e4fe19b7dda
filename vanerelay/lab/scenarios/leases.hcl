# Six managers, six tasks: holders frozen, cut one way, slow, ended, lost with their disk, a clock that runs fast.
name    = "leases"
include = "lease-site"
length  = "40s"

# Its clock for leases runs 1% fast.
release "fast" {
  managers = "m5"
  shim     = "import time; told = time.clock_gettime_ns; time.clock_gettime_ns = lambda one: told(one) * 101 // 100"
}

fault "m1 frozen" {
  at       = "5s"
  lasting  = "4s"
  managers = "m1"
  do       = "freeze"
}

fault "m2 hears and is not heard" {
  at      = "10s"
  lasting = "4s"
  links   = ["m2 > m*", "m2 > e*"]
  do      = "hold"
}

fault "m3 is heard and hears nothing" {
  at      = "12s"
  lasting = "4s"
  links   = ["m* > m3"]
  do      = "hold"
}

fault "m4 killed, its disk lost" {
  at       = "15s"
  lasting  = "2s"
  managers = "m4"
  do       = "kill"
  folder   = "gone"
}

fault "answers 3 s late" {
  at      = "18s"
  lasting = "4s"
  links   = ["m* > m5"]
  do      = "slow"
  delay   = "3s"
}

fault "m6 ended in mid-deed" {
  at       = "23s"
  lasting  = "2s"
  managers = "m6"
  do       = "end"
}

fault "m1 killed, its disk lost" {
  at       = "25s"
  lasting  = "1s"
  managers = "m1"
  do       = "kill"
  folder   = "gone"
}

program "who holds what" {
  words = ["fleet", "leases", "--address", "@FIRST@"]
  at    = "39s"
  exits = 0
}

expect {
  served = 0.6
}
