"""Models, simulations, fault schedules, the demo, and measurements."""
