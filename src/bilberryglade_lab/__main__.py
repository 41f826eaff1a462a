"""Command line of the lab: `python -m bilberryglade_lab`."""

from bilberryglade_lab import demo_program, measure_intents, programs

REGISTERED = (demo_program, measure_intents)

if __name__ == '__main__':
    programs.main()
