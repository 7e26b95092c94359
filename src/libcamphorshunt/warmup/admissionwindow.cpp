#include "warmup/admissionwindow.h"

#include <algorithm>

namespace camphorshunt {

auto AdmissionWindow::record(Time now) -> void
{
    while (!admitted_.empty() && (now - admitted_.front() >= longest || admitted_.size() >= maxRemembered))
        admitted_.pop_front();
    admitted_.push_back(now);
}

auto AdmissionWindow::count(Time now, Duration length) const -> std::size_t
{
    const auto first = std::upper_bound(admitted_.begin(), admitted_.end(), now - length);
    return static_cast<std::size_t>(admitted_.end() - first);
}

} // namespace camphorshunt
