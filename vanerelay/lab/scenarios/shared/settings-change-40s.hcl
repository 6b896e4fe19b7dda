change {
  before   = "old.json"
  settings = "new.json"
}
@INCLUDE plan-stages@
judge {
  block   = 20
  least   = 6
  settle  = "1s"
  longest = "40s"
}
@INCLUDE plan-guards@
