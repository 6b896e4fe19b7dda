# Six managers, eight engines, no fault: what a play looks like where nothing is wrong.
name   = "calm"
length = "10s"

managers {
  count = 6
}

engines "k" {
  count  = 8
  cores  = 4
  memory = 8000
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
  rate    = 10
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

expect {
  served = 0.97
}
