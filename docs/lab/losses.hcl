drivers = 30
period  = "500ms"
end     = "84s"
step "kill" {
  at = "12s"
  drivers = [2]
}
step "start" {
  at = "17s"
  drivers = [2]
}
step "kill" {
  at = "21s"
  drivers = [9]
}
step "start" {
  at = "26s"
  drivers = [9]
}
step "kill" {
  at = "30s"
  drivers = [16]
}
step "start" {
  at = "35s"
  drivers = [16]
}
step "kill" {
  at = "39s"
  drivers = [23]
}
step "start" {
  at = "44s"
  drivers = [23]
}
step "kill" {
  at = "48s"
  drivers = [0]
}
step "start" {
  at = "53s"
  drivers = [0]
}
step "kill" {
  at = "57s"
  drivers = [7]
}
step "start" {
  at = "62s"
  drivers = [7]
}
step "kill" {
  at = "66s"
  drivers = [14]
}
step "start" {
  at = "71s"
  drivers = [14]
}
step "kill" {
  at = "75s"
  drivers = [21]
}
step "start" {
  at = "80s"
  drivers = [21]
}
