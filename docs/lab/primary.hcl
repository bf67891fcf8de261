# The primaries of two groups out of four change: one dies, one is drained; 10 to 1,000 drivers.
scenario "change" {
  groups  = 4
  members = 10
  load    = 0.5
  for     = "16s"
  retries = 2
}

experiment "primary" {
  scenario = "change"
  seeds    = 5
  drivers  = [10, 100, 1000]
  variant "dies" {
    fault "kill" {
      at = "4s"
      on = "g1m1"
    }
    fault "kill" {
      at = "5s"
      on = "g2m1"
    }
  }
  variant "drains" {
    fault "drain" {
      at = "4s"
      on = "g1m1"
    }
    fault "drain" {
      at = "5s"
      on = "g2m1"
    }
  }
  variant "dies-no-probes" {
    probes = false
    fault "kill" {
      at = "4s"
      on = "g1m1"
    }
    fault "kill" {
      at = "5s"
      on = "g2m1"
    }
  }
}
