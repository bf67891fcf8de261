# All drivers restart at once, six seconds behind a change of the primary; with learned state and without, where probes
# tell roles and where only answers do.
scenario "fleet" {
  groups  = 4
  members = 10
  load    = 0.5
  for     = "24s"
  retries = 2
  fault "drain" {
    at = "2s"
    on = "g1m1"
  }
  fault "drain" {
    at = "2500ms"
    on = "g2m1"
  }
}

experiment "restarts" {
  scenario = "fleet"
  seeds    = 6
  drivers  = [10, 100, 1000]
  variant "none" {}
  variant "with-state" {
    fault "restart" { at = "8s" }
  }
  variant "without" {
    fault "lose" { at = "8s" }
  }
  variant "without-more-messages" {
    messages = 270
    fault "lose" { at = "8s" }
  }
  variant "none-no-probes" { probes = false }
  variant "with-state-no-probes" {
    probes = false
    fault "restart" { at = "8s" }
  }
  variant "without-no-probes" {
    probes = false
    fault "lose" { at = "8s" }
  }
}
