#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorshunt {

/**
 * The plug-ins of one kind, by name. A plug-in registers itself with a namespace-scope constant:
 * `const auto registered = Registry<Factory>::instance().add("name", factory);`. All calls to `add` happen
 * before `main`; afterwards any thread may call the const functions.
 */
template <typename Factory> class Registry {
public:
    static auto instance() -> Registry&
    {
        static Registry registry;
        return registry;
    }

    Registry(const Registry&) = delete;
    Registry(Registry&&) = delete;
    auto operator=(const Registry&) -> Registry& = delete;
    auto operator=(Registry&&) -> Registry& = delete;
    ~Registry() = default;

    /** Returns false and changes nothing if the name is already registered. */
    auto add(std::string_view name, Factory factory) -> bool
    {
        return factories_.emplace(name, std::move(factory)).second;
    }

    /** Null if the name is not registered. */
    auto find(std::string_view name) const -> const Factory*
    {
        const auto found = factories_.find(name);
        return found == factories_.end() ? nullptr : &found->second;
    }

    /** In alphabetical order. */
    auto names() const -> std::vector<std::string>
    {
        auto result = std::vector<std::string> {};
        result.reserve(factories_.size());
        for (const auto& [name, factory] : factories_)
            result.push_back(name);
        return result;
    }

private:
    Registry() = default;

    std::map<std::string, Factory, std::less<>> factories_;
};

} // namespace camphorshunt
