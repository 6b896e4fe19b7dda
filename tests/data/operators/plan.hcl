# Every key of a rolling change's plan, each with a value of its own.
# unknown: plan
name     = "change"
baseline = "21s"
record   = "change.record"
worse    = "hold"
unclear  = "back"
control  = 2
away_for = "67s"
change {
  # unknown: plan.change
  before   = "old.json"
  settings = "new.json"
}
member "m1" {
  # unknown: plan.member
  address = "10.0.0.1:7946"
  domain  = "east"
  keeper  = "10.0.0.1:7947"
}
member "m2" {
  address = "10.0.0.2:7946"
  domain  = "west"
}
away {
  # unknown: plan.away
  most   = 3
  domain = 2
  carry  = 0.75
}
stage "first" {
  # unknown: plan.stage
  managers = 1
}
stage "west" {
  domain = "west"
}
stage "all" {
  part = 1.0
}
judge {
  # unknown: plan.judge
  chance  = 0.02
  block   = 41
  least   = 9
  longest = "602s"
  settle  = "3100ms"
  slice   = "1400ms"
}
guard "look" {
  # unknown: plan.guard
  tolerance = 0.015
  loss      = 0.055
}
leases {
  # unknown: plan.leases
  voters = ["m1", "m2", "m3"]
}
