@INCLUDE fleet-options@
rollout {
  folder = "@FOLDER@"
}
