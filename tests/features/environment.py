"""Behave hooks that stop whatever a scenario has started."""


def after_scenario(context, scenario):
    deployment = getattr(context, "deployment", None)
    if deployment is not None:
        deployment.stop()
        context.deployment = None
    runner = getattr(context, "route_runner", None)
    if runner is not None:
        runner.run(context.world.stop())
        runner.close()
        context.route_runner = None
