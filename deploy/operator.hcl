# The operators' own file: `vanerelay serve --options FILE`. What is not written here is off, or has its default.
# Times are written with a unit: "150ms", "30s", "5m", "1h". `vanerelay check CONFIG --options FILE` reads it.

membership {
  # The control feed. The source with the lowest precedence is asked first; 20 where nothing is written.
  feed {
    stale_after = "60s" # without an answer for so long it comes after all other sources
  }

  # Watched list files (JSON); any number of such blocks. Precedence 10 where nothing is written.
  files "main" {
    paths    = ["/etc/vanerelay/engines.json"] # or patterns, such as "/etc/vanerelay/engines/*.json"
    complete = false                           # true: engines that it does not list are not there

    checks {
      most_lost     = 0.3   # a list that loses a larger part of its engines at once is held
      confirm_after = "60s" # ... until a second revision, `members confirm`, or this time
    }
  }

  # An engine that came back more often than this is held off for a while.
  flapping {
    returns = 3
    span    = "60s"
    hold    = "30s"
  }

  # Accepted lists, for the next start and for `members history` and `members pin`.
  store {
    folder = "/var/lib/vanerelay"
    keep   = 50
  }

  # Where `vanerelay members` asks; for the own user alone.
  console {
    socket = "/run/vanerelay/console"
  }
}

# The control service for proxies (xDS). Off: take out the signs to switch it on; docs/operators/xds.md has all words.
# xds {
#   listen  = "127.0.0.1:18000"
#   nodes   = ["packing-*"]
#   proxies = 20
#   handed {
#     part = 0.5 # of our slices; the rest is for our own clients
#   }
# }

# Managers that know each other, and orders of a rolling change. Off: take out the signs to switch them on; docs/operators/rollout.md
# has all words. There is no sign-in: listen where managers and the controller alone can reach.
# fleet {
#   listen = "10.0.0.4:7946"
#   domain = "east"                       # what fails together
#   folder = "/var/lib/vanerelay/fleet"   # for the incarnation
#   member "m2" {
#     address = "10.0.0.5:7946"
#   }
# }
# rollout {
#   folder = "/var/lib/vanerelay/orders"
# }

# Tasks of the whole fleet, each with one holder at a time. Off; docs/operators/leases.md has all words, and the first start.
# leases {
#   voters = ["m1", "m2", "m3"]
#   folder = "/var/lib/vanerelay/leases"
#   chore "refresh" {
#     every = "60s"
#     words = ["order", "@ID@", "task=@TASK@,number=@NUMBER@,serial=@SERIAL@,holder=@HOLDER@", "refresh"]
#   }
# }

# Reads that say how old they may be, and loads that go to their source. Off; docs/operators/freshness.md has all words.
# freshness {
#   watch {
#     words = ["copies", "@ID@", "task=@TASK@,number=@NUMBER@,serial=@SERIAL@,holder=@HOLDER@", "@FROM@"]
#   }
# }

# Table groups are read before they are asked for. Off; docs/operators/warming.md has all words.
# warming {
#   group     = "warm"
#   statement = "SELECT count(*) FROM sales_@GROUP@.orders"
# }
