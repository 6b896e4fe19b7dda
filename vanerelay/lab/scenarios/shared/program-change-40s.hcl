change {
  program = "new"
  back    = "old"
}
@INCLUDE plan-stages@
judge {
  block   = 20
  least   = 6
  settle  = "1s"
  longest = "40s"
}
@INCLUDE plan-guards@
