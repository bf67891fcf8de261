# Planned changes of two primaries out of four, with hooks and without, and their deaths; the cluster itself is
# without a primary for half a second (and 1.5 s until a death is seen).
scenario "planned" {
  groups  = 4
  members = 10
  load    = 0.5
  for     = "14s"
  retries = 2
  elect   = "500ms"
}

experiment "switch" {
  scenario = "planned"
  seeds    = 4
  drivers  = [10, 100, 1000]
  variant "hooks" {
    fault "switch" {
      at = "4s"
      on = "g1m1"
    }
    fault "switch" {
      at = "5s"
      on = "g2m1"
    }
  }
  variant "no-hooks" {
    fault "demote" {
      at = "4050ms"
      on = "g1m1"
    }
    fault "demote" {
      at = "5050ms"
      on = "g2m1"
    }
  }
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
}
