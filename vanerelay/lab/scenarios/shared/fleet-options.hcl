fleet {
  listen = "@LISTEN@"
  domain = "@PLACE@"
  folder = "@FOLDER@"
@MEMBERS@
}
