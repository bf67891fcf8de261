# Everything takes four times as long for five seconds, and clients ask up to three times. At which load does the
# cluster not recover once the slowdown is over?
scenario "slowdown" {
  groups  = 2
  members = 5
  for     = "40s"
  retries = 2
  fault "slow" {
    at  = "8s"
    for = "5s"
    by  = 4
  }
}

experiment "storm" {
  scenario = "slowdown"
  seeds    = 6
  drivers  = [30]
  loads    = [0.4, 0.5, 0.6, 0.7, 0.8, 0.9]
  variant "module" {}
  variant "no-advice" { advice = false }
  variant "no-retries" { retries = 0 }
  variant "least" { policy = "least" }
  variant "random" { policy = "random" }
}

experiment "storm-large" {
  scenario = "slowdown"
  seeds    = 3
  drivers  = [3, 300]
  loads    = [0.6, 0.8]
  variant "module" {}
  variant "least" { policy = "least" }
}
