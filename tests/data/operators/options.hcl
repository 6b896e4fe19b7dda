# Every key of the operators' file, each with a value of its own.
membership {
  # unknown: membership
  feed {
    # unknown: membership.feed
    precedence    = 21
    authoritative = false
    complete      = true
    stale_after   = "61s"
  }
  files "main" {
    # unknown: membership.files
    paths         = ["/etc/a.json", "/etc/b/*.json"]
    precedence    = 11
    authoritative = false
    complete      = true
    stale_after   = "62s"
    checks {
      # unknown: membership.files.checks
      most_lost     = 0.35
      least_lost    = 2
      confirm_after = "63s"
      missing_after = "13s"
      most_members  = 1001
      most_files    = 101
      most_bytes    = 1002
    }
    stillness {
      # unknown: membership.files.stillness
      still  = "151ms"
      writer = "1100ms"
      poll   = "510ms"
    }
  }
  flapping {
    # unknown: membership.flapping
    returns = 4
    span    = "64s"
    hold    = "31s"
  }
  store {
    # unknown: membership.store
    folder = "/var/lib/a"
    keep   = 51
  }
  console {
    # unknown: membership.console
    socket = "/run/console"
  }
}
xds {
  # unknown: xds
  listen   = "127.0.0.1:18001"
  nodes    = ["packing-*"]
  listener = "gate"
  bind     = "127.0.0.1:18002"
  most     = 1003
  proxies  = 21
  handed {
    # unknown: xds.handed
    part          = 0.45
    changes_every = "2100ms"
    change        = 0.15
  }
  limits {
    # unknown: xds.limits
    streams  = 102
    message  = 1004
    headers  = 1005
    waiting  = 1006
    quiet    = "32s"
    answer   = "12s"
    greeting = "6s"
  }
  tls {
    # unknown: xds.tls
    certificate = "/etc/cert.pem"
    key         = "/etc/key.pem"
    proxies_ca  = "/etc/ca.pem"
  }
}
fleet {
  # unknown: fleet
  listen = "10.0.0.4:7946"
  fleet  = "prod"
  domain = "east"
  folder = "/var/lib/fleet"
  member "m2" {
    # unknown: fleet.member
    address = "10.0.0.5:7946"
    domain  = "west"
  }
  pace {
    # unknown: fleet.pace
    period    = "501ms"
    patience  = "251ms"
    through   = 4
    suspicion = 6.5
    told      = 13
    most      = 1007
    forget    = "601s"
  }
}
rollout {
  # unknown: rollout
  folder = "/var/lib/orders"
}
leases {
  # unknown: leases
  voters        = ["m1", "m2", "m3"]
  voters_before = ["m4", "m5", "m6"]
  version       = 2
  folder        = "/var/lib/leases"
  weights       = { "m1" = 0.5 }
  history       = "/var/lib/history"
  terms {
    # unknown: leases.terms
    term    = "11s"
    longest = "33s"
    drift   = 0.03
    linger  = "2200ms"
  }
  chore "refresh" {
    # unknown: leases.chore
    words    = ["order", "@ID@"]
    every    = "65s"
    patience = "2300ms"
    shards   = 3
    at_once  = 5
  }
}
freshness {
  # unknown: freshness
  at         = "read_at"
  to         = "load_to"
  lead_loads = false
  watch {
    # unknown: freshness.watch
    words    = ["copies", "@ID@"]
    every    = "520ms"
    patience = "1200ms"
    shards   = 2
    at_once  = 17
    hear     = "210ms"
  }
  sessions {
    # unknown: freshness.sessions
    most     = 1008
    longest  = "66s"
    patience = "110ms"
  }
}
warming {
  # unknown: warming
  group     = "warm"
  statement = "SELECT @GROUP@"
  memory    = 103.5
  keeps     = 104
  budget    = 1.5
  saves     = "14s"
  reading   = "530ms"
  price     = 0.12
  span      = "1300ms"
  horizon   = "34s"
  period    = "100h"
  at_once   = 6
  lasts     = "7s"
  look      = "55ms"
  most      = 2001
  history   = "/var/lib/warm"
  publisher "press" {
    # unknown: warming.publisher
    first = 3
    last  = 9
  }
}
