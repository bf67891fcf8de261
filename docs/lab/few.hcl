# weirlab experiment docs/lab/few.hcl: three of four drivers end and their clients come to the rest; two seconds later all
# members of a group but one restart cold. What the rest are told of how many they are: nothing (as before), what
# membership counts 15 s after the loss or as operators say that those are gone.
scenario "few" {
  drivers = 100
  groups  = 2
  members = 9
  load    = 0.6
  for     = "60s"
  fault "end" {
    at = "10s"
    on = "3/4"
  }
  fault "deploy" {
    at  = "28s"
    for = "2s"
    on  = "all"
  }
}
scenario "few-told" {
  drivers = 100
  groups  = 2
  members = 9
  load    = 0.6
  for     = "60s"
  fault "end" {
    at = "10s"
    on = "3/4"
  }
  fault "count" {
    at = "25s"
    on = "all"
    by = 25
  }
  fault "deploy" {
    at  = "28s"
    for = "2s"
    on  = "all"
  }
}
scenario "few-unsure" {
  drivers = 100
  groups  = 2
  members = 9
  load    = 0.6
  for     = "60s"
  fault "end" {
    at = "10s"
    on = "3/4"
  }
  fault "count" {
    at = "13s"
    on = "all"
    by = 200
  }
  fault "deploy" {
    at  = "28s"
    for = "2s"
    on  = "all"
  }
}
experiment "unaware" {
  scenario = "few"
  seeds    = 3
  drivers  = [10, 100]
  variant "module" {}
}
experiment "forgotten" {
  scenario = "few-told"
  seeds    = 3
  drivers  = [100]
  variant "module" {}
}
experiment "smaller" {
  scenario = "few-unsure"
  seeds    = 3
  drivers  = [100]
  variant "module" {}
}
