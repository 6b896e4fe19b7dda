# Warming: planners killed, frozen and late, a flash, one that nobody reads, a place's engines back with nothing warm.
name    = "warm-first"
include = "warm-site"
length  = "44s"

publication "nobody reads" {
  load  = "load"
  group = "look"
  at    = "8s"
  first = 50
  last  = 55
  reads = false
}

fault "a flash" {
  at      = "10s"
  lasting = "2s"
  do      = "load"
  group   = "look"
  factor  = 20
}

fault "m3 killed in mid-plan" {
  at       = "12s"
  lasting  = "2s"
  managers = "m3"
  do       = "kill"
}

fault "m4 frozen, another believes as well" {
  at       = "17s"
  lasting  = "5s"
  managers = "m4"
  do       = "freeze"
}

fault "east dies and is back cold" {
  at      = "24s"
  lasting = "1s"
  engines = "e1 e3 e5"
  do      = "crash"
}

fault "orders 2 s late" {
  at      = "30s"
  lasting = "4s"
  links   = ["m* > m1", "m* > m2"]
  do      = "slow"
  delay   = "2s"
}

fault "m5 ended" {
  at       = "36s"
  lasting  = "2s"
  managers = "m5"
  do       = "end"
}

expect {
  served = 0.5
  since  = "4s"
}
