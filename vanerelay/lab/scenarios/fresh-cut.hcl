# Hinted reads while the fleet is halved, all copies are too old, the source falls silent, an engine of sessions dies.
name    = "fresh-cut"
include = "fresh-site"
length  = "30s"

group "refuse" {
  goal   = "1500ms"
  limit  = "4s"
  rate   = 8
  work   = "30ms"
  memory = 60
  hint   = "stale<=500ms behind<=1 else=refuse"
}

group "freshest" {
  goal   = "1500ms"
  limit  = "4s"
  rate   = 8
  work   = "30ms"
  memory = 60
  hint   = "stale<=200ms else=freshest"
}

fault "the fleet halved, three on each side" {
  at      = "4s"
  lasting = "5s"
  links   = ["m1 - m4", "m1 - m5", "m1 - m6", "m2 - m4", "m2 - m5", "m2 - m6", "m3 - m4", "m3 - m5", "m3 - m6"]
  do      = "cut"
}

fault "all copies too old" {
  at      = "11s"
  lasting = "4s"
  engines = "e2 e3 e4 e5 e6 e7"
  do      = "lag"
  delay   = "8s"
}

fault "e3 dies, with the sessions that read there" {
  at      = "17s"
  lasting = "3s"
  engines = "e3"
  do      = "crash"
}

fault "the source stands still" {
  at      = "22s"
  lasting = "2s"
  engines = "e1"
  do      = "stall"
}

fault "m5 and m6 killed" {
  at       = "25s"
  lasting  = "2s"
  managers = "m5 m6"
  do       = "kill"
}

expect {
  served = 0.5
}
