namespace camphorshunt {
}
