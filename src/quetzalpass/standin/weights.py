"""Models and adapters that a stand-in engine has loaded."""

from quetzalpass.standin import messages, settings

ADAPTER_LOAD_SHARE = 0.1
DEFAULT_ROLE = "serve"


class LoadingModel:
    """A loaded model and the times when it and its adapters are ready."""

    def __init__(self, version: str, ready_at_s: float) -> None:
        self.version = version
        self.ready_at_s = ready_at_s
        self.adapters: dict[str, float] = {}


class Weights:
    """Models and adapters on an engine, and its role.

    Attributes
    ----------
    models : dict of str to LoadingModel
        Models by name.
    role : str
        Role that an order assigned to the engine.
    """

    def __init__(self, config: settings.StandinSettings) -> None:
        self.load_s = config.load_s
        self.role = DEFAULT_ROLE
        self.models = {
            name: LoadingModel(config.version, 0.0) for name in config.models
        }

    def is_ready(self, name: str, now_s: float) -> bool:
        """Return whether a model, named ``model`` or ``model:adapter``, is ready."""
        model_name, _, adapter = name.partition(":")
        model = self.models.get(model_name)
        if model is None or model.ready_at_s > now_s:
            return False
        return not adapter or model.adapters.get(adapter, now_s) <= now_s

    def apply_order(self, action: messages.OrderAction, now_s: float) -> None:
        """Apply an order; a repeated order has no effect."""
        model = self.models.get(action.model)
        match action.verb:
            case "load_model":
                if model is None or model.version != action.version:
                    self.models[action.model] = LoadingModel(
                        action.version or "", now_s + self.load_s
                    )
            case "unload_model":
                self.models.pop(action.model, None)
            case "load_adapter":
                if model is not None and action.adapter is not None:
                    ready_at_s = now_s + self.load_s * ADAPTER_LOAD_SHARE
                    model.adapters.setdefault(action.adapter, ready_at_s)
            case "unload_adapter":
                if model is not None and action.adapter is not None:
                    model.adapters.pop(action.adapter, None)
            case "change_role":
                self.role = action.role or DEFAULT_ROLE

    def loaded_models(self, now_s: float) -> tuple[messages.LoadedModel, ...]:
        """Return the models that are loaded or loading."""
        return tuple(
            messages.LoadedModel(
                name,
                model.version,
                model.ready_at_s <= now_s,
                tuple(
                    each for each, ready_s in model.adapters.items() if ready_s <= now_s
                ),
            )
            for name, model in self.models.items()
        )
