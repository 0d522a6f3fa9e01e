"""Simulations, load models, fault schedules, a demo system and measurements."""
