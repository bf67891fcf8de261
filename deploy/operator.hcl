# The operators' file: what an installation switches on beside the platform's configuration. Named by
# --operator FILE or WEIRWIND_OPERATOR. Every value below but the folder is the default; without the file, or
# without a block, that block's feature is off. SIGHUP reads it again; docs/operator.md says what changes then.

log {
  format = "text" # or "json"
  level  = "info" # "debug", "info", "warn", "error": the least that is written
}

# What the driver has learned, kept across restarts. Off on the platform, which has no disk that persists.
state {
  folder       = "/var/lib/weirwind" # one driver a folder; made if it is missing
  save_every   = "1s"                # 50ms to 1m; member lists are saved as they come
  limit_mb     = 16                  # of all files together, 1 to 1024
  switch_least = "0s"                # no primary is replaced in less; 0s: the platform's time to stop sending
}

# Word between drivers: positions, the primary seen, who answers how fast. 0: what all are sent together stays bounded, so that
# 1,000 drivers take 90 messages a second each and know less of their members; docs/lab.md has figures.
peers {
  messages_per_second = 0 # 0 to 10000; that many each driver takes, about
}

# The deployment's shape where the platform's settings do not say it; docs/migration.md. Without the block, or
# with a value left out, the settings' own hold.
#
# fleet {
#   peers               = false             # drivers share nothing; true never lets them talk where the platform does not
#   drivers             = 0                 # how many in all; 0: the settings' siblings
#   only_draining_binds = false             # true: a member listed as gone without a drain may still be sent to
# }

# Hooks of the topology manager and fellow drivers; docs/switchover.md. Off on the platform, which has no hooks.
#
# control {
#   socket     = "/run/weirwind/control.sock"
#   listen     = ""                         # host:port for fellow drivers
#   fellows    = []
#   token_file = ""                         # wanted with listen or fellows
#   lease      = "5s"                       # of a hold
#   most       = "1m"                       # with all its renewals
#   opening    = "10s"
# }

# Drivers know each other: who is there, who has failed; docs/membership.md. Off on the platform, which allows no such talk.
#
# membership {
#   listen     = "10.0.0.5:7434"            # IP:port, UDP and TCP
#   advertise  = ""                         # where fellows reach it; empty: listen
#   seeds      = []                         # IP:port of some fellows
#   token_file = ""                         # empty: control's
#   zone       = ""                         # empty: the platform's
#   period     = "500ms"                    # between two probes of one driver
#   expect     = 0                          # drivers before they first agree; 0: the platform's figure
#   yield      = "15s"                      # the share of lost ones is taken over after so long
#   folder     = ""                         # keeps the roster and votes for the next process
# }

# Drivers agree on which zones serve whose reads; wants membership. docs/zones.md. Off on the platform, which allows no such talk.
#
# zones {
#   region "north" {
#     zones = ["a", "b", "c"]
#   }
#   voters   = 5
#   beat     = "1s"
#   lease    = "15s"                        # a plan holds for so long after it was certainly the newest
#   headroom = 15                           # percent
#   budget   = 100                          # percent of reads that may cross
#   load     = 60                           # percent
#   doubt    = "1s"
#   away     = "10s"
#   webhook  = ""                           # for moves of primaries that are asked for
# }

# Outcomes of writes that carry key=...; docs/switchover.md. Off on the platform, which has no disk that persists.
#
# ledger {
#   folder   = "/var/lib/weirwind-ledger"   # one driver a folder
#   keep     = "1h"                         # behind its end a key is remembered for so long
#   keys     = 100000
#   limit_mb = 64
# }

# Members in a key-value registry beside discovery. Off on the platform, which has none; so here it is a comment.
#
# registry "etcd" {                           # or "consul"
#   endpoints        = ["https://10.0.0.5:2379", "https://10.0.0.6:2379"]
#   prefix           = "weirwind/members/"
#   service          = ""                     # consul: a service's instances instead of keys
#   credentials_file = ""                     # name:password, or consul's token
#   ca_file          = ""
#   take_over        = "30s"                  # silent for so long, discovery leads
#   confirm          = "3s"                   # a list that lost most members must say so again
#   silence          = "10s"                  # a watch without a sign is left
#   drivers_prefix   = ""                     # "weirwind/drivers/": drivers find each other
#   lease            = "10s"
# }
