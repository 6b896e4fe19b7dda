# Hinted reads: the watcher is killed, copies lag, stick and go back, the source is replaced, a pin's keeper killed.
name    = "fresh-first"
include = "fresh-site"
length  = "30s"

fault "whoever watches is killed, one after the other" {
  at       = "4s"
  lasting  = "2s"
  managers = "m1"
  do       = "kill"
}

fault "e2 answers and follows no more" {
  at      = "7s"
  lasting = "5s"
  engines = "e2"
  do      = "stick"
}

fault "e3 lags" {
  at      = "8s"
  lasting = "5s"
  engines = "e3"
  do      = "lag"
  delay   = "4s"
}

fault "e4 goes back five loads" {
  at      = "10s"
  lasting = "4s"
  engines = "e4"
  do      = "restore"
  factor  = 5
}

fault "m2 killed" {
  at       = "12s"
  lasting  = "2s"
  managers = "m2"
  do       = "kill"
}

fault "news 3 s late" {
  at      = "15s"
  lasting = "4s"
  links   = ["m3 > m*"]
  do      = "slow"
  delay   = "3s"
}

fault "m4 frozen" {
  at       = "17s"
  lasting  = "4s"
  managers = "m4"
  do       = "freeze"
}

fault "e5 takes the source's place" {
  at      = "22s"
  engines = "e5"
  do      = "lead"
}

expect {
  served = 0.6
}
