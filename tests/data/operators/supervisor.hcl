# Every key of the file of `vanerelay keep`, each with a value of its own.
# unknown: supervisor
name   = "m1"
listen = "127.0.0.1:7947"
serve  = "127.0.0.1:6565"
first  = "old"
folder = "/var/lib/keep"
patience {
  # unknown: supervisor.patience
  ready     = "35s"
  probation = "68s"
  end       = "69s"
}
release "old" {
  # unknown: supervisor.release
  tree    = "/opt/old"
  config  = "/etc/old.json"
  python  = "/opt/old/bin/python"
  options = "/etc/old.hcl"
}
release "new" {
  tree   = "/opt/new"
  config = "/etc/new.json"
}
